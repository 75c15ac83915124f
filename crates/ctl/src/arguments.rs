//! Commands and flags.

use std::str::FromStr;

use gumdrop::Options;

/// How answers are shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OutputForm {
    /// Columns for a person.
    #[default]
    Table,
    /// JSON for a script.
    Json,
}

impl FromStr for OutputForm {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            other => Err(format!("{other:?} is not an output form; allowed: table, json")),
        }
    }
}

/// The whole command line.
#[derive(Debug, Options)]
pub struct Arguments {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Where a daemon serves operators.
    #[options(help = "a daemon's operators' address (or DAHLIA_ADDRESS)", meta = "HOST:PORT")]
    pub address: Option<String>,
    /// The operators' token.
    #[options(help = "the operators' token (or DAHLIA_TOKEN)", meta = "TOKEN")]
    pub token: Option<String>,
    /// How answers are shown.
    #[options(help = "table or json", meta = "FORM", default = "table")]
    pub output: OutputForm,
    /// The command.
    #[options(command)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug, Options)]
pub enum Command {
    /// Programs.
    #[options(help = "create, list, show and close programs")]
    Programs(Programs),
    /// Budgets.
    #[options(help = "show and raise programs' budgets")]
    Budgets(Budgets),
    /// Sessions.
    #[options(help = "show a program's chains, calls and held cache")]
    Sessions(Sessions),
    /// Machines.
    #[options(help = "list daemons and stop one as planned")]
    Machines(Machines),
    /// Engines.
    #[options(help = "list engines")]
    Engines(Engines),
    /// Configuration.
    #[options(help = "show, compare, apply and follow the configuration")]
    Configuration(Configuration),
}

/// `programs`.
#[derive(Debug, Options)]
pub struct Programs {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// What to do.
    #[options(command, required)]
    pub command: Option<ProgramsCommand>,
}

/// What to do with programs.
#[derive(Debug, Options)]
pub enum ProgramsCommand {
    /// Create one.
    #[options(help = "create a program")]
    Create(CreateProgram),
    /// List them.
    #[options(help = "list programs")]
    List(ListPrograms),
    /// Show one.
    #[options(help = "show a program")]
    Show(OneProgram),
    /// End one.
    #[options(help = "end a program and free the engines' memory")]
    Close(OneProgram),
}

/// `programs create`.
#[derive(Debug, Options)]
pub struct CreateProgram {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The tenant.
    #[options(help = "whose program it is", meta = "NAME", required)]
    pub tenant: String,
    /// The model.
    #[options(help = "model, adapter and version", meta = "NAME", required)]
    pub model: String,
    /// The budget.
    #[options(help = "tokens in all", meta = "TOKENS", required)]
    pub budget: u64,
    /// Idle expiry.
    #[options(
        help = "ends after this long without a call (default: 4 hours)",
        meta = "MILLISECONDS"
    )]
    pub idle_expiry: u64,
    /// Request key.
    #[options(help = "name of this request; repeating it creates nothing new", meta = "KEY")]
    pub request_key: String,
}

/// `programs list`.
#[derive(Debug, Options)]
pub struct ListPrograms {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Only this tenant's.
    #[options(help = "only this tenant's", meta = "NAME")]
    pub tenant: String,
    /// At most so many.
    #[options(help = "at most so many (default: 100)", meta = "NUMBER")]
    pub limit: u32,
    /// Also ended ones.
    #[options(help = "also those that have ended")]
    pub closed: bool,
}

/// A command on one program.
#[derive(Debug, Options)]
pub struct OneProgram {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The program.
    #[options(free, required, help = "the program, e.g. p-3-00f3a1b2c4d5e6f7")]
    pub program: String,
}

/// `budgets`.
#[derive(Debug, Options)]
pub struct Budgets {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// What to do.
    #[options(command, required)]
    pub command: Option<BudgetsCommand>,
}

/// What to do with budgets.
#[derive(Debug, Options)]
pub enum BudgetsCommand {
    /// Show one.
    #[options(help = "show a program's budget")]
    Show(OneProgram),
    /// Raise one.
    #[options(help = "raise a program's budget to a total")]
    Raise(RaiseBudget),
}

/// `budgets raise`.
#[derive(Debug, Options)]
pub struct RaiseBudget {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The program.
    #[options(free, required, help = "the program")]
    pub program: String,
    /// The new total.
    #[options(help = "the new total in tokens", meta = "TOKENS", required)]
    pub total: u64,
}

/// `sessions`.
#[derive(Debug, Options)]
pub struct Sessions {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The program.
    #[options(free, required, help = "the program")]
    pub program: String,
}

/// `machines`.
#[derive(Debug, Options)]
pub struct Machines {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// What to do.
    #[options(command, required)]
    pub command: Option<MachinesCommand>,
}

/// What to do with machines.
#[derive(Debug, Options)]
pub enum MachinesCommand {
    /// List them.
    #[options(help = "list the daemons that the asked one knows")]
    List(Plain),
    /// Stop one as planned.
    #[options(help = "start a planned stop of the asked daemon")]
    Drain(DrainMachine),
}

/// `machines drain`.
#[derive(Debug, Options)]
pub struct DrainMachine {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The daemon.
    #[options(free, required, help = "the daemon, e.g. d11; must be the one at --address")]
    pub daemon: String,
}

/// `engines`.
#[derive(Debug, Options)]
pub struct Engines {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// What to do.
    #[options(command, required)]
    pub command: Option<EnginesCommand>,
}

/// What to do with engines.
#[derive(Debug, Options)]
pub enum EnginesCommand {
    /// List them.
    #[options(help = "list the engines that the asked daemon knows")]
    List(Plain),
}

/// `configuration`.
#[derive(Debug, Options)]
pub struct Configuration {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// What to do.
    #[options(command, required)]
    pub command: Option<ConfigurationCommand>,
}

/// What to do with the configuration.
#[derive(Debug, Options)]
pub enum ConfigurationCommand {
    /// Show a generation.
    #[options(help = "print a generation's document; its first line names the generation")]
    Show(ShowConfiguration),
    /// Apply a document.
    #[options(help = "make a document the next generation")]
    Apply(ApplyConfiguration),
    /// Compare a document.
    #[options(help = "compare a document with the generation in force")]
    Diff(OneFile),
    /// List changes.
    #[options(help = "list the changes, newest first")]
    History(ShowHistory),
    /// Follow.
    #[options(help = "print each generation as it comes into force on the asked daemon")]
    Watch(WatchConfiguration),
}

/// `configuration show`.
#[derive(Debug, Options)]
pub struct ShowConfiguration {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The generation.
    #[options(help = "generation (default: the one in force)", meta = "NUMBER")]
    pub generation: u64,
}

/// `configuration apply`.
#[derive(Debug, Options)]
pub struct ApplyConfiguration {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The document.
    #[options(free, required, help = "the whole new document (TOML)")]
    pub file: String,
    /// The generation that the change was made from.
    #[options(
        help = "generation that the change was made from (default: the file's first line, as \
                written by show)",
        meta = "NUMBER"
    )]
    pub expected: Option<u64>,
    /// Who makes the change.
    #[options(help = "who makes the change (default: $USER)", meta = "NAME")]
    pub author: Option<String>,
    /// Identity of the change.
    #[options(
        no_short,
        help = "identity of an earlier try whose outcome is unknown (default: a new one)",
        meta = "IDENTITY"
    )]
    pub change: Option<String>,
}

/// `configuration history`.
#[derive(Debug, Options)]
pub struct ShowHistory {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// At most so many.
    #[options(help = "at most so many, up to 65 (default: 20)", meta = "NUMBER")]
    pub limit: u32,
}

/// `configuration watch`.
#[derive(Debug, Options)]
pub struct WatchConfiguration {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// End after so many.
    #[options(help = "end after so many generations (default: never)", meta = "NUMBER")]
    pub count: u32,
}

/// A command on one file.
#[derive(Debug, Options)]
pub struct OneFile {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The file.
    #[options(free, required, help = "the document (TOML)")]
    pub file: String,
}

/// A command without flags.
#[derive(Debug, Options)]
pub struct Plain {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
}
