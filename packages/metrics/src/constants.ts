import { seconds } from '@papayahill/common'

/** Spans that make up the windows of a class, and how many are kept: a quarter of an hour. */
export const CLASS_SLICE = seconds(30)
export const CLASS_SLICES = 30
/** The same for a workspace, coarser so that many fit. */
export const WORKSPACE_SLICE = seconds(300)
export const WORKSPACE_SLICES = 3
/** Pairs of workspace and class that are followed; the least recently served one makes room. */
export const MAX_WORKSPACE_SERIES = 512
/** Significant digits of times: for classes within 1%, for workspaces within 10%. */
export const CLASS_DIGITS = 2
export const WORKSPACE_DIGITS = 1
/** Longest time told apart, in milliseconds. */
export const MAX_TIME_MS = 3_600_000
/** Upper bounds of the exposition's buckets, in seconds. */
export const EXPOSED_BUCKETS: readonly number[] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.2, 2, 4, 8, 16, 32]
/** How often classes are compared with their targets, and over which window. */
export const WATCH_PERIOD = seconds(30)
export const WATCH_WINDOW = seconds(60)
/** Fewer requests in the window say nothing. */
export const WATCH_MIN_REQUESTS = 20
