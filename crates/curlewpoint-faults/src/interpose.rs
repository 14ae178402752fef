//! Functions that replace those of the C library. Each passes on the calls that the script leaves unchanged.

use std::ffi::{c_int, c_void, CStr};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::OnceLock;

use libc::{clockid_t, size_t, sockaddr, socklen_t, ssize_t, timespec};

use crate::script::{Call, Fault, Rule, Script, Transport};

const VARIABLE: &str = "CURLEWPOINT_FAULTS";

/// The script of this process and its state.
struct Injector {
    script: Script,
    start_ms: u64,
    /// State of the random number generator.
    rng_state: AtomicU64,
    /// Number of faults that each rule has injected.
    fault_counts: Vec<AtomicU64>,
}

fn injector() -> &'static Injector {
    static INJECTOR: OnceLock<Injector> = OnceLock::new();
    INJECTOR.get_or_init(|| {
        let script = Script::parse(&std::env::var(VARIABLE).unwrap_or_default()).unwrap_or_else(|error| {
            eprintln!("{error}");
            std::process::exit(2)
        });
        let fault_counts = script.rules.iter().map(|_| AtomicU64::new(0)).collect();
        // The process id is included, so that processes with the same script fail at different calls.
        let rng_state = AtomicU64::new(script.seed ^ (u64::from(std::process::id()) << 32) | 1);
        Injector { script, start_ms: monotonic_ms(), rng_state, fault_counts }
    })
}

/// Parses the script when the library is loaded, so that an invalid one ends the process before it does anything.
#[used]
#[link_section = ".init_array"]
static PARSE_AT_LOAD: extern "C" fn() = parse_at_load;

extern "C" fn parse_at_load() {
    injector();
}

/// The address of the C library's function of this name.
fn original(name: &CStr) -> *mut c_void {
    // SAFETY: the name is a C string, and the result is only used as the named function.
    let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    assert!(!found.is_null(), "function not found in the C library");
    found
}

macro_rules! original {
    ($name:literal, $kind:ty) => {{
        static FOUND: OnceLock<usize> = OnceLock::new();
        let found = *FOUND.get_or_init(|| original($name) as usize);
        // SAFETY: the address is that of the C library's function of this name, which has the given signature.
        std::mem::transmute::<usize, $kind>(found)
    }};
}

type ClockGettime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;

fn monotonic_ms() -> u64 {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the call writes only to `now`.
    unsafe { original!(c"clock_gettime", ClockGettime)(libc::CLOCK_MONOTONIC, &mut now) };
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}

impl Injector {
    /// Returns the next random number from 0 to 1: the high bits of Knuth's linear congruential generator.
    fn next_random(&self) -> f64 {
        let next = |x: u64| x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let before = self.rng_state.fetch_update(Relaxed, Relaxed, |x| Some(next(x))).unwrap_or_default();
        (next(before) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns the fault to inject into a call, if any.
    fn select_fault(&self, call: Call, transport: Option<Transport>, bytes: &[u8]) -> Option<Fault> {
        let elapsed_ms = monotonic_ms() - self.start_ms;
        let contains_text = |rule: &Rule| {
            let text = rule.containing.as_deref().unwrap_or_default().as_bytes();
            text.is_empty() || bytes.windows(text.len()).any(|window| window == text)
        };
        for (rule, count) in self.script.rules.iter().zip(&self.fault_counts) {
            let applies = rule.call == call && rule.transport.is_none_or(|t| Some(t) == transport);
            let is_active =
                rule.after_ms <= elapsed_ms && elapsed_ms < rule.until_ms && count.load(Relaxed) < rule.times;
            if applies && is_active && contains_text(rule) && self.next_random() < rule.share {
                count.fetch_add(1, Relaxed);
                return Some(rule.fault);
            }
        }
        None
    }

    /// A random number of bytes below `len`, at least one.
    fn partial_len(&self, len: usize) -> usize {
        ((len as f64 * self.next_random()) as usize).clamp(1, len.max(2) - 1)
    }
}

/// The transport of a TCP or UDP socket; None for all other file descriptors.
fn transport(fd: c_int) -> Option<Transport> {
    let option = |name| {
        let (mut value, mut size) = (0 as c_int, size_of::<c_int>() as socklen_t);
        let to = (&raw mut value).cast();
        // SAFETY: `value` and `size` have the types that the option requires.
        let failed = unsafe { libc::getsockopt(fd, libc::SOL_SOCKET, name, to, &mut size) } != 0;
        if failed {
            -1
        } else {
            value
        }
    };
    match (option(libc::SO_DOMAIN), option(libc::SO_TYPE)) {
        (libc::AF_INET | libc::AF_INET6, libc::SOCK_STREAM) => Some(Transport::Tcp),
        (libc::AF_INET | libc::AF_INET6, libc::SOCK_DGRAM) => Some(Transport::Udp),
        _ => None,
    }
}

/// Sets `errno` for the caller.
fn set_errno(code: c_int) {
    // SAFETY: the location is valid and belongs to this thread.
    unsafe { *libc::__errno_location() = code };
}

type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type Accept = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;

/// # Safety
/// Same as for send(2).
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, bytes: *const c_void, len: size_t, flags: c_int) -> ssize_t {
    let original = original!(c"send", Send);
    let Some(transport) = transport(fd) else { return original(fd, bytes, len, flags) };
    let data = if len == 0 { &[] } else { std::slice::from_raw_parts(bytes.cast::<u8>(), len) };
    match injector().select_fault(Call::Send, Some(transport), data) {
        Some(Fault::Error(code)) => {
            set_errno(code);
            -1
        }
        Some(Fault::Short) if len > 1 && transport == Transport::Tcp => {
            original(fd, bytes, injector().partial_len(len), flags)
        }
        _ => original(fd, bytes, len, flags),
    }
}

/// # Safety
/// Same as for recv(2).
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, to: *mut c_void, len: size_t, flags: c_int) -> ssize_t {
    let original = original!(c"recv", Recv);
    let Some(transport) = transport(fd) else { return original(fd, to, len, flags) };
    match injector().select_fault(Call::Recv, Some(transport), &[]) {
        Some(Fault::Error(code)) => {
            set_errno(code);
            -1
        }
        // At most 64 bytes: a fraction of a large buffer would usually hold everything that has arrived.
        Some(Fault::Short) if len > 1 && transport == Transport::Tcp => {
            original(fd, to, injector().partial_len(len.min(64)), flags)
        }
        _ => original(fd, to, len, flags),
    }
}

/// # Safety
/// Same as for accept4(2).
#[no_mangle]
pub unsafe extern "C" fn accept4(fd: c_int, from: *mut sockaddr, len: *mut socklen_t, flags: c_int) -> c_int {
    if let Some(Fault::Error(code)) = injector().select_fault(Call::Accept, None, &[]) {
        set_errno(code);
        return -1;
    }
    original!(c"accept4", Accept)(fd, from, len, flags)
}

/// # Safety
/// Same as for connect(2).
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, to: *const sockaddr, len: socklen_t) -> c_int {
    let transport = transport(fd);
    if transport.is_some() {
        if let Some(Fault::Error(code)) = injector().select_fault(Call::Connect, transport, &[]) {
            set_errno(code);
            return -1;
        }
    }
    original!(c"connect", Connect)(fd, to, len)
}

/// # Safety
/// Same as for socket(2).
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET || domain == libc::AF_INET6 {
        if let Some(Fault::Error(code)) = injector().select_fault(Call::Socket, None, &[]) {
            set_errno(code);
            return -1;
        }
    }
    original!(c"socket", Socket)(domain, kind, protocol)
}

/// # Safety
/// Same as for clock_gettime(2).
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, to: *mut timespec) -> c_int {
    let result = original!(c"clock_gettime", ClockGettime)(clock, to);
    if result == 0 && clock == libc::CLOCK_REALTIME && !to.is_null() {
        let injector = injector();
        let elapsed_ms = monotonic_ms() - injector.start_ms;
        let step_ms = injector
            .script
            .clock_steps
            .iter()
            .filter(|s| s.after_ms <= elapsed_ms)
            .map(|s| s.by_ms)
            .sum::<i64>();
        (*to).tv_sec += step_ms / 1_000;
    }
    result
}
