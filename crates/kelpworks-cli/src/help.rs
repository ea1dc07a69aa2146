//! The text of `--help`.

/// What `--help` prints.
pub(crate) const TEXT: &str = "\
A router for pipelines of language models over mixed accelerators.

Usage:
  kelpworks serve --settings FILE
  kelpworks relay --settings FILE
  kelpworks check FILE...
  kelpworks check-config FILE [--against FILE] [--json]
  kelpworks register import FILE [--dry-run] WHERE [--wait TIME]
  kelpworks rules apply FILE [--dry-run] WHERE [--wait TIME]
  kelpworks status [--json] --operators ADDR[,ADDR...]
  kelpworks blame [--json] --operators ADDR[,ADDR...]

Commands:
  serve            Run a daemon
  relay            Run a daemon before engines that pass requests along a path
  check            Check settings, registers and rules; nothing is applied
  check-config     Check a configuration of relaying daemons, and show its
                   differences from the one in force; nothing is applied
  register import  Make a register the fleet's, and wait until it is in force
  rules apply      Make rules the fleet's, and wait until they are in force
  status           Show the daemons and the generation each has in force
  blame            Show which requests and parts of prompts a relaying daemon
                   holds back because upstreams crash under them

Options:
  --settings FILE        A daemon's settings. In WHERE: take the object API and
                         the operators' address from them
  --object-api URL       The object API
  --operators ADDR,...   Operators' addresses of daemons; the first that
                         answers tells of all
  --against FILE         The configuration in force, to compare with
  --dry-run              Show the difference and apply nothing
  --wait TIME            How long to wait until the change is in force on every
                         daemon [default: 10 s]
  --json                 Print the result as JSON
  -h, --help             Print this
  -V, --version          Print the version

WHERE is --settings FILE, or --object-api URL with --operators ADDR,... to wait.

Exit codes:
  0  done
  1  the outcome failed: a conflict, a daemon that lags, an outage; or a
     configuration has findings, none of them an error
  2  bad input; nothing was applied
";
