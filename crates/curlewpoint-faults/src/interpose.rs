//! The calls that are put in place of the C library's, each of which passes on what the script leaves alone.

use std::ffi::{c_int, c_void, CStr};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::OnceLock;

use libc::{clockid_t, size_t, sockaddr, socklen_t, ssize_t, timespec};

use crate::script::{Call, Fault, Rule, Script, Transport};

const VARIABLE: &str = "CURLEWPOINT_FAULTS";

struct Active {
    script: Script,
    begun_ms: u64,
    random: AtomicU64,
    /// How often each rule has acted.
    acted: Vec<AtomicU64>,
}

fn active() -> &'static Active {
    static ACTIVE: OnceLock<Active> = OnceLock::new();
    ACTIVE.get_or_init(|| {
        let script = Script::read(&std::env::var(VARIABLE).unwrap_or_default()).unwrap_or_else(|why| {
            eprintln!("{why}");
            std::process::exit(2)
        });
        let acted = script.rules.iter().map(|_| AtomicU64::new(0)).collect();
        // The process id too, so that processes of one script do not fail in step.
        let random = AtomicU64::new(script.seed ^ (u64::from(std::process::id()) << 32) | 1);
        Active { script, begun_ms: monotonic_ms(), random, acted }
    })
}

/// The script is read as the library is loaded, so that one that cannot be read ends the process before it does anything.
#[used]
#[link_section = ".init_array"]
static READ_AT_LOAD: extern "C" fn() = read_at_load;

extern "C" fn read_at_load() {
    active();
}

/// The C library's own function of this name.
fn original(name: &CStr) -> *mut c_void {
    // SAFETY: the name is a C string; the answer is only used as the function that it names.
    let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    assert!(!found.is_null(), "the C library lacks a function");
    found
}

macro_rules! original {
    ($name:literal, $kind:ty) => {{
        static FOUND: OnceLock<usize> = OnceLock::new();
        let found = *FOUND.get_or_init(|| original($name) as usize);
        // SAFETY: it is the C library's function of this name, whose signature is given.
        std::mem::transmute::<usize, $kind>(found)
    }};
}

type ClockGettime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;

fn monotonic_ms() -> u64 {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: it writes to `now` alone.
    unsafe { original!(c"clock_gettime", ClockGettime)(libc::CLOCK_MONOTONIC, &mut now) };
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}

impl Active {
    /// The next number from 0 to 1 (an LCG after Knuth, its high bits).
    fn chance(&self) -> f64 {
        let next = |x: u64| x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let before = self.random.fetch_update(Relaxed, Relaxed, |x| Some(next(x))).unwrap_or_default();
        (next(before) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// What is done to this call, if anything.
    fn fault(&self, call: Call, transport: Option<Transport>, bytes: &[u8]) -> Option<Fault> {
        let at = monotonic_ms() - self.begun_ms;
        let holds = |rule: &Rule| {
            let text = rule.containing.as_deref().unwrap_or_default().as_bytes();
            text.is_empty() || bytes.windows(text.len()).any(|part| part == text)
        };
        for (rule, acted) in self.script.rules.iter().zip(&self.acted) {
            let here = rule.call == call && rule.transport.is_none_or(|kind| Some(kind) == transport);
            let now = rule.after_ms <= at && at < rule.until_ms && acted.load(Relaxed) < rule.times;
            if here && now && holds(rule) && self.chance() < rule.share {
                acted.fetch_add(1, Relaxed);
                return Some(rule.fault);
            }
        }
        None
    }

    /// A part of so many bytes: one at least, and not all.
    fn part(&self, of: usize) -> usize {
        ((of as f64 * self.chance()) as usize).clamp(1, of.max(2) - 1)
    }
}

/// The kind of an internet socket; none for all else.
fn transport(fd: c_int) -> Option<Transport> {
    let option = |name| {
        let (mut value, mut size) = (0 as c_int, size_of::<c_int>() as socklen_t);
        let to = (&raw mut value).cast();
        // SAFETY: value and size are as the option wants them.
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

/// Sets the error number that the caller looks at.
fn set_error(no: c_int) {
    // SAFETY: the C library's own place for this thread.
    unsafe { *libc::__errno_location() = no };
}

type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type Accept = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;

/// # Safety
/// As send(2).
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, bytes: *const c_void, len: size_t, flags: c_int) -> ssize_t {
    let pass = original!(c"send", Send);
    let Some(kind) = transport(fd) else { return pass(fd, bytes, len, flags) };
    let all = if len == 0 { &[] } else { std::slice::from_raw_parts(bytes.cast::<u8>(), len) };
    match active().fault(Call::Send, Some(kind), all) {
        Some(Fault::Error(no)) => {
            set_error(no);
            -1
        }
        Some(Fault::Short) if len > 1 && kind == Transport::Tcp => pass(fd, bytes, active().part(len), flags),
        _ => pass(fd, bytes, len, flags),
    }
}

/// # Safety
/// As recv(2).
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, to: *mut c_void, len: size_t, flags: c_int) -> ssize_t {
    let pass = original!(c"recv", Recv);
    let Some(kind) = transport(fd) else { return pass(fd, to, len, flags) };
    match active().fault(Call::Recv, Some(kind), &[]) {
        Some(Fault::Error(no)) => {
            set_error(no);
            -1
        }
        // A few bytes: where much room was offered, half of it would be all that has come.
        Some(Fault::Short) if len > 1 && kind == Transport::Tcp => {
            pass(fd, to, active().part(len.min(64)), flags)
        }
        _ => pass(fd, to, len, flags),
    }
}

/// # Safety
/// As accept4(2).
#[no_mangle]
pub unsafe extern "C" fn accept4(fd: c_int, from: *mut sockaddr, len: *mut socklen_t, flags: c_int) -> c_int {
    if let Some(Fault::Error(no)) = active().fault(Call::Accept, None, &[]) {
        set_error(no);
        return -1;
    }
    original!(c"accept4", Accept)(fd, from, len, flags)
}

/// # Safety
/// As connect(2).
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, to: *const sockaddr, len: socklen_t) -> c_int {
    let kind = transport(fd);
    if kind.is_some() {
        if let Some(Fault::Error(no)) = active().fault(Call::Connect, kind, &[]) {
            set_error(no);
            return -1;
        }
    }
    original!(c"connect", Connect)(fd, to, len)
}

/// # Safety
/// As socket(2).
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET || domain == libc::AF_INET6 {
        if let Some(Fault::Error(no)) = active().fault(Call::Socket, None, &[]) {
            set_error(no);
            return -1;
        }
    }
    original!(c"socket", Socket)(domain, kind, protocol)
}

/// # Safety
/// As clock_gettime(2).
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, to: *mut timespec) -> c_int {
    let done = original!(c"clock_gettime", ClockGettime)(clock, to);
    if done == 0 && clock == libc::CLOCK_REALTIME && !to.is_null() {
        let active = active();
        let at = monotonic_ms() - active.begun_ms;
        let by = active.script.steps.iter().filter(|s| s.after_ms <= at).map(|s| s.by_ms).sum::<i64>();
        (*to).tv_sec += by / 1_000;
    }
    done
}
