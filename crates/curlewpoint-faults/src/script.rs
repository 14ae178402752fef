//! The fault script: `seed 7; send tcp short 5%; recv tcp EINTR 5% after 4000 until 9000; clock step -3600000 after 2000`.
//!
//! A rule consists of a call (`send`, `recv`, `accept`, `connect`, `socket`), the transport (`tcp` or `udp`) for `send`, `recv`
//! and `connect`, the fault (`short` or the name of an error) and the share of calls in percent. Options: `after MS` and
//! `until MS`, the time since the library was loaded; `times N`, the maximum number of faults; `containing TEXT`, only data
//! with these bytes (`send` only). `seed N` sets the seed, and `clock step MS` shifts the wall clock, with the option `after MS`.

use std::fmt::{Display, Formatter};

/// The fault that a rule injects into a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Only a part of the bytes is read or written.
    Short,
    /// The call fails with this `errno`.
    Error(i32),
}

/// The calls that can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Send,
    Recv,
    Accept,
    Connect,
    Socket,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    Tcp,
    Udp,
}

/// Which calls get a fault, and how often.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    pub call: Call,
    /// None for any transport.
    pub transport: Option<Transport>,
    pub fault: Fault,
    /// Share of the calls that get the fault, from 0 to 1.
    pub share: f64,
    pub after_ms: u64,
    pub until_ms: u64,
    pub times: u64,
    pub containing: Option<String>,
}

/// A step of the wall clock.
#[derive(Clone, Debug, PartialEq)]
pub struct ClockStep {
    pub by_ms: i64,
    pub after_ms: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script {
    pub seed: u64,
    pub rules: Vec<Rule>,
    pub clock_steps: Vec<ClockStep>,
}

/// A syntax error: the numbers of the rule and of the word in it, counted from 1, and the word.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptError {
    pub rule: usize,
    pub word: usize,
    pub text: String,
    pub reason: &'static str,
}

impl Display for ScriptError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "fault script, rule {}, word {} '{}': {}", self.rule, self.word, self.text, self.reason)
    }
}

/// Error names and their `errno`.
const ERRORS: [(&str, i32); 11] = [
    ("EINTR", libc::EINTR),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("EMFILE", libc::EMFILE),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("ETIMEDOUT", libc::ETIMEDOUT),
    ("ECONNRESET", libc::ECONNRESET),
    ("ECONNREFUSED", libc::ECONNREFUSED),
];

/// The words of one rule, with the index of the next one.
struct Words<'a> {
    rule: usize,
    words: Vec<&'a str>,
    next: usize,
}

impl<'a> Words<'a> {
    fn next_word(&mut self) -> Option<&'a str> {
        let word = self.words.get(self.next).copied();
        self.next += 1;
        word
    }

    /// An error at the last word that was read.
    fn error(&self, reason: &'static str) -> ScriptError {
        let text = self.words.get(self.next.saturating_sub(1)).copied().unwrap_or_default().to_owned();
        ScriptError { rule: self.rule, word: self.next, text, reason }
    }

    fn parse_number<T: std::str::FromStr>(&mut self) -> Result<T, ScriptError> {
        let word = self.next_word().unwrap_or_default();
        word.parse().map_err(|_| self.error("expected a number"))
    }

    fn parse_call(&mut self, word: &str) -> Result<Call, ScriptError> {
        match word {
            "send" => Ok(Call::Send),
            "recv" => Ok(Call::Recv),
            "accept" => Ok(Call::Accept),
            "connect" => Ok(Call::Connect),
            "socket" => Ok(Call::Socket),
            _ => Err(self.error("no such call")),
        }
    }

    fn parse_transport(&mut self) -> Result<Transport, ScriptError> {
        match self.next_word() {
            Some("tcp") => Ok(Transport::Tcp),
            Some("udp") => Ok(Transport::Udp),
            _ => Err(self.error("expected tcp or udp")),
        }
    }

    fn parse_fault(&mut self, call: Call) -> Result<Fault, ScriptError> {
        let word = self.next_word().unwrap_or_default();
        if word == "short" {
            let can_be_short = matches!(call, Call::Send | Call::Recv);
            return if can_be_short {
                Ok(Fault::Short)
            } else {
                Err(self.error("short applies only to send and recv"))
            };
        }
        let error = ERRORS.iter().find(|(name, _)| *name == word);
        error.map(|(_, code)| Fault::Error(*code)).ok_or_else(|| self.error("no such fault"))
    }

    fn parse_share(&mut self) -> Result<f64, ScriptError> {
        let word = self.next_word().unwrap_or_default();
        let share = word.strip_suffix('%').and_then(|n| n.parse::<f64>().ok());
        let share = share.filter(|s| (0.0..=100.0).contains(s));
        share.map(|s| s / 100.0).ok_or_else(|| self.error("expected a share from 0% to 100%"))
    }

    fn parse_rule(&mut self, call: Call) -> Result<Rule, ScriptError> {
        let has_transport = matches!(call, Call::Send | Call::Recv | Call::Connect);
        let transport = if has_transport { Some(self.parse_transport()?) } else { None };
        let (fault, share) = (self.parse_fault(call)?, self.parse_share()?);
        let (after_ms, until_ms, times, containing) = (0, u64::MAX, u64::MAX, None);
        let mut rule = Rule { call, transport, fault, share, after_ms, until_ms, times, containing };
        while let Some(word) = self.next_word() {
            match word {
                "after" => rule.after_ms = self.parse_number()?,
                "until" => rule.until_ms = self.parse_number()?,
                "times" => rule.times = self.parse_number()?,
                "containing" if call == Call::Send => {
                    let text = self.next_word().ok_or_else(|| self.error("expected a text"))?;
                    rule.containing = Some(text.to_owned());
                }
                _ => return Err(self.error("unexpected word")),
            }
        }
        Ok(rule)
    }

    fn parse_clock_step(&mut self) -> Result<ClockStep, ScriptError> {
        if self.next_word() != Some("step") {
            return Err(self.error("expected step"));
        }
        let by_ms = self.parse_number()?;
        let after_ms = match self.next_word() {
            None => 0,
            Some("after") => self.parse_number()?,
            Some(_) => return Err(self.error("unexpected word")),
        };
        Ok(ClockStep { by_ms, after_ms })
    }
}

impl Script {
    pub fn parse(text: &str) -> Result<Script, ScriptError> {
        let mut script = Script::default();
        let rules = text.split(';').map(str::trim).filter(|rule| !rule.is_empty());
        for (index, rule) in rules.enumerate() {
            let mut words = Words { rule: index + 1, words: rule.split_whitespace().collect(), next: 0 };
            match words.next_word().unwrap_or_default() {
                "seed" => script.seed = words.parse_number()?,
                "clock" => script.clock_steps.push(words.parse_clock_step()?),
                word => {
                    let call = words.parse_call(word)?;
                    script.rules.push(words.parse_rule(call)?);
                }
            }
        }
        Ok(script)
    }
}

#[cfg(test)]
mod tests;
