/** Time around a request's end in which lines of endpoints and instances bear on it, in milliseconds. */
export const EVIDENCE_SPAN = 5000
/** Lines of evidence that are shown. */
export const MAX_EVIDENCE = 12
/** Silence after which an instance that wrote nothing more counts as ended, in milliseconds. */
export const SILENCE = 1000
