/** Time before a request's first line and after its end in which state events count as evidence, in milliseconds. */
export const EVIDENCE_SPAN = 5000
/** Maximum number of evidence lines; the latest ones are shown. */
export const MAX_EVIDENCE = 12
/** Time without further lines after which an instance is assumed to have ended, in milliseconds. */
export const SILENCE_TIMEOUT = 1000
