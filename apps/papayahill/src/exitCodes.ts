/** How `papayahill` ends. */
export const EXIT_CODES = {
  done: 0,
  /** The instance refused, or what was asked for failed. */
  refused: 1,
  /** The command line or a file is malformed. */
  malformed: 2,
  /** No instance could be reached. */
  unreachable: 3,
  /** Accepted, but not in force everywhere within the limit of `--wait`. */
  notInForce: 4,
  /** Another operator's change won. */
  conflict: 5
} as const

export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES]
