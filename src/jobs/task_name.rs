//! Names of tasks in the protocol with the workers.

/// Returns the name of a task: its job's id, a slash and the task's number.
pub fn task_name(id: &str, task: u32) -> String {
    format!("{id}/{task}")
}

/// Splits the name of a task into its job's id and the task's number. None if the text isn't the name of a task.
pub fn parse_task_name(name: &str) -> Option<(&str, u32)> {
    let (id, task) = name.rsplit_once('/')?;
    Some((id, task.parse().ok()?))
}
