export { SHUTDOWN_EVENTS } from './events.js'
export { StopSignals } from './StopSignals.js'
export type { SignalSource, StopSignalsOptions } from './StopSignals.js'
