/** Exit codes of `papayahill`. */
export const EXIT_CODES = {
  done: 0,
  /** The instance refused the request, or the command failed. */
  refused: 1,
  /** The command line or a file is malformed. */
  malformed: 2,
  /** No instance could be reached, or an answer timed out. */
  unreachable: 3,
  /** Accepted, but not in force everywhere within the limit of `--wait`. */
  notInForce: 4,
  /** The change conflicts with another operator's. */
  conflict: 5
} as const

export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES]
