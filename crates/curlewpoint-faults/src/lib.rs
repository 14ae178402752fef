//! Preloaded into a process under test (`LD_PRELOAD`), this library fails or shortens some of its system calls by the script in
//! `CURLEWPOINT_FAULTS`, and steps its wall clock. Without a script every call passes through. It is built for tests and fault
//! runs only: no binary of the project links it.
//!
//! A script is a list of rules between semicolons; see [`script`] for its words. The same script and seed make the same choices
//! for the same calls.

mod script;

#[cfg(not(test))]
mod interpose;
