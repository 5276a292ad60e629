//! The HTTP client of [`crate::vm_list::VmListPort`].
