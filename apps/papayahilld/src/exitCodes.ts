/** Exit codes of `papayahilld`. */
export const EXIT_CODES = {
  /** Planned stop: every request was finished. */
  stopped: 0,
  /** An error at startup or while running. */
  failed: 1,
  /** The command line or the settings are malformed. */
  malformed: 2,
  /** Stopped at once by signals; running requests were cut. */
  cut: 3
} as const

export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES]
