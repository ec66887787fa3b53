import { seconds } from '@papayahill/common'

/** Duration of a class's time slices, and how many are kept: 15 minutes in total. */
export const CLASS_SLICE = seconds(30)
export const CLASS_SLICES = 30
/** The same for a workspace, coarser to take less memory. */
export const WORKSPACE_SLICE = seconds(300)
export const WORKSPACE_SLICES = 3
/** Pairs of workspace and class that are tracked; beyond that the least recently served one is evicted. */
export const MAX_WORKSPACE_SERIES = 512
/** Significant digits of latencies: accurate to 1% for classes, to 10% for workspaces. */
export const CLASS_DIGITS = 2
export const WORKSPACE_DIGITS = 1
/** Largest latency that is recorded as is, in milliseconds; longer ones are recorded as this. */
export const MAX_LATENCY_MS = 3_600_000
/** Upper bounds of the exposed histogram buckets, in seconds. */
export const EXPOSED_BUCKETS: readonly number[] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.2, 2, 4, 8, 16, 32]
/** How often classes are compared with their targets, and over which window. */
export const WATCH_PERIOD = seconds(30)
export const WATCH_WINDOW = seconds(60)
/** With fewer requests in the window, attainment is not compared with the target. */
export const WATCH_MIN_REQUESTS = 20
