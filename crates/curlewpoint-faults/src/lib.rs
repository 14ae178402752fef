//! A library to preload into a process under test (`LD_PRELOAD`). It makes some system calls fail or transfer fewer bytes, and
//! steps the wall clock, according to the script in `CURLEWPOINT_FAULTS`. Without a script every call is passed on unchanged. It
//! is built for tests and fault runs only: no binary of the project links it.
//!
//! A script is a list of rules separated by semicolons; see [`script`] for the syntax. The same script, seed and process id make
//! the same choices for the same sequence of calls.

mod script;

#[cfg(not(test))]
mod interpose;
