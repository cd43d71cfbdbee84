#pragma once

namespace dandelionloom {

/// Exit codes of every subcommand, documented in docs/cli.md. The numbers are an interface.
enum class ExitCode {
    Ok = 0,
    /// The server refused the request, or the change conflicts with another.
    Refused = 1,
    /// A usage error, or a faulty file. Nothing was sent.
    Usage = 2,
    /// No server ran the request. It is safe to send it again.
    NotRun = 3,
    /// The change may have been accepted. Resend it with the same change id to learn the outcome.
    Unknown = 4
};

} // namespace dandelionloom
