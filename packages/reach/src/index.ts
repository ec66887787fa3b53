export { EndpointReach } from './EndpointReach.js'
export type { EndpointReachOptions } from './EndpointReach.js'
export { REACH_EVENTS } from './events.js'
export type { LossJudge, PathEvidence, ProbeResult, Reach } from './types.js'
