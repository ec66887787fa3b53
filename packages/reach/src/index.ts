export type { PathEvidence, Reach } from './types.js'
