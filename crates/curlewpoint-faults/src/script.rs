//! The fault script: `seed 7; send tcp short 5%; recv tcp EINTR 5% after 4000 until 9000; clock step -3600000 after 2000`.
//!
//! A rule names a call (`send`, `recv`, `accept`, `connect`, `socket`), for `send`, `recv` and `connect` the kind of socket (`tcp`
//! or `udp`), the fault (`short` or the name of an error) and how often. What may follow: `after MS` and `until MS`, counted from
//! the first call; `times N`, at most so often; `containing TEXT`, only what holds these bytes (`send` alone).

use std::fmt::{Display, Formatter};

/// What a rule does to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A part of the bytes is read or written.
    Short,
    /// The call fails with this error number.
    Error(i32),
}

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

#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    pub call: Call,
    /// None: of any kind.
    pub transport: Option<Transport>,
    pub fault: Fault,
    /// How often, from 0 to 1.
    pub share: f64,
    pub after_ms: u64,
    pub until_ms: u64,
    pub times: u64,
    pub containing: Option<String>,
}

/// The wall clock is off by so much from a moment on.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub by_ms: i64,
    pub after_ms: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script {
    pub seed: u64,
    pub rules: Vec<Rule>,
    pub steps: Vec<Step>,
}

/// Where a script cannot be read: the rule and the word, counted from 1.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptError {
    pub rule: usize,
    pub word: usize,
    pub text: String,
    pub why: &'static str,
}

impl Display for ScriptError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "fault script, rule {}, word {} '{}': {}", self.rule, self.word, self.text, self.why)
    }
}

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

/// The words of one rule, and which of them comes next.
struct Words<'a> {
    rule: usize,
    words: Vec<&'a str>,
    next: usize,
}

impl<'a> Words<'a> {
    fn take(&mut self) -> Option<&'a str> {
        let word = self.words.get(self.next).copied();
        self.next += 1;
        word
    }

    /// An error at the word taken last.
    fn error(&self, why: &'static str) -> ScriptError {
        let text = self.words.get(self.next.saturating_sub(1)).copied().unwrap_or_default().to_owned();
        ScriptError { rule: self.rule, word: self.next, text, why }
    }

    fn number<T: std::str::FromStr>(&mut self) -> Result<T, ScriptError> {
        let word = self.take().unwrap_or_default();
        word.parse().map_err(|_| self.error("a number is wanted"))
    }

    fn call(&mut self, word: &str) -> Result<Call, ScriptError> {
        match word {
            "send" => Ok(Call::Send),
            "recv" => Ok(Call::Recv),
            "accept" => Ok(Call::Accept),
            "connect" => Ok(Call::Connect),
            "socket" => Ok(Call::Socket),
            _ => Err(self.error("no such call")),
        }
    }

    fn transport(&mut self) -> Result<Transport, ScriptError> {
        match self.take() {
            Some("tcp") => Ok(Transport::Tcp),
            Some("udp") => Ok(Transport::Udp),
            _ => Err(self.error("tcp or udp is wanted")),
        }
    }

    fn fault(&mut self, call: Call) -> Result<Fault, ScriptError> {
        let word = self.take().unwrap_or_default();
        if word == "short" {
            let fits = matches!(call, Call::Send | Call::Recv);
            return if fits { Ok(Fault::Short) } else { Err(self.error("only send and recv are cut short")) };
        }
        let known = ERRORS.iter().find(|(name, _)| *name == word);
        known.map(|(_, no)| Fault::Error(*no)).ok_or_else(|| self.error("no such fault"))
    }

    fn share(&mut self) -> Result<f64, ScriptError> {
        let word = self.take().unwrap_or_default();
        let share = word.strip_suffix('%').and_then(|n| n.parse::<f64>().ok());
        let share = share.filter(|s| (0.0..=100.0).contains(s));
        share.map(|s| s / 100.0).ok_or_else(|| self.error("a share from 0% to 100% is wanted"))
    }

    fn rule(&mut self, call: Call) -> Result<Rule, ScriptError> {
        let has_kind = matches!(call, Call::Send | Call::Recv | Call::Connect);
        let transport = if has_kind { Some(self.transport()?) } else { None };
        let (fault, share) = (self.fault(call)?, self.share()?);
        let (after_ms, until_ms, times, containing) = (0, u64::MAX, u64::MAX, None);
        let mut rule = Rule { call, transport, fault, share, after_ms, until_ms, times, containing };
        while let Some(word) = self.take() {
            match word {
                "after" => rule.after_ms = self.number()?,
                "until" => rule.until_ms = self.number()?,
                "times" => rule.times = self.number()?,
                "containing" if call == Call::Send => {
                    let text = self.take().ok_or_else(|| self.error("a text is wanted"))?;
                    rule.containing = Some(text.to_owned());
                }
                _ => return Err(self.error("no such word here")),
            }
        }
        Ok(rule)
    }

    fn step(&mut self) -> Result<Step, ScriptError> {
        if self.take() != Some("step") {
            return Err(self.error("step is wanted"));
        }
        let by_ms = self.number()?;
        let after_ms = match self.take() {
            None => 0,
            Some("after") => self.number()?,
            Some(_) => return Err(self.error("no such word here")),
        };
        Ok(Step { by_ms, after_ms })
    }
}

impl Script {
    pub fn read(text: &str) -> Result<Script, ScriptError> {
        let mut script = Script::default();
        let rules = text.split(';').map(str::trim).filter(|rule| !rule.is_empty());
        for (no, rule) in rules.enumerate() {
            let mut words = Words { rule: no + 1, words: rule.split_whitespace().collect(), next: 0 };
            match words.take().unwrap_or_default() {
                "seed" => script.seed = words.number()?,
                "clock" => script.steps.push(words.step()?),
                word => {
                    let call = words.call(word)?;
                    script.rules.push(words.rule(call)?);
                }
            }
        }
        Ok(script)
    }
}

#[cfg(test)]
mod tests;
