import { bytes, millis, seconds } from '@papayahill/common'

/** Answers up to this size are buffered until they are complete, so that an interrupted one can be retried. */
export const MAX_BUFFERED_ANSWER = bytes(2_097_152)
/** Largest incomplete stream event that is buffered. */
export const MAX_EVENT_SIZE = bytes(1_048_576)
/** Idle connections kept open to one endpoint; also the limit of all connections to it if its service declares none. */
export const MAX_IDLE_CONNECTIONS = 16
/** Share of an endpoint's connection limit that all instances together may use. */
export const CONNECTION_SHARE = 0.8
/** Peers that may turn a request down before it is refused to its caller. */
export const MAX_UNTAKEN = 2
/** No call is sent with less than this time left. */
export const MIN_CALL_TIME = millis(15)
/** Endpoints that may reject a request before it is refused to its caller. */
export const MAX_REJECTIONS = 4
/**
 * A retryable request is sent to another endpoint when its answer takes longer than this many times its target;
 * a stream, when its first event takes longer than this many times the sum of the target and the usual time to the first event.
 */
export const HANG_TIMEOUT_TARGETS = 2.5
/** Lower bound of that timeout. */
export const MIN_HANG_TIMEOUT = millis(250)
/** Time without a byte after which the path of a call is probed; for a stream, also between its events. */
export const PLAIN_SILENCE = millis(300)
export const STREAM_SILENCE = millis(1000)
/** The same, as a multiple of the route's usual time, where that is longer. */
export const USUAL_SILENCE_FACTOR = 1.2
/** Time by which timers may fire early. */
export const TIMER_SLACK = millis(2)
/** Weight of the newest request in the mean time for which requests of a service take a place. */
export const HOLD_TIME_WEIGHT = 0.1
/** Grace after a call's deadline, which its endpoint enforces itself, before its answer is no longer awaited. */
export const LATE_ANSWER_GRACE = millis(400)
/** Grace after a request's deadline, in which its last call ends by itself, before the request is ended without it. */
export const FINAL_ANSWER_GRACE = millis(LATE_ANSWER_GRACE + 50)
/** A resumable stream is resumed at another endpoint after a pause of this many times the longest gap of its route. */
export const STREAM_SILENCE_GAPS = 5
/** Lower bound of that pause. */
export const MIN_STREAM_SILENCE = millis(1500)
/** Interval at which a silent call asks again for what its replacement lacked. */
export const SILENCE_CHECK_PERIOD = millis(200)
/**
 * Time in which an endpoint rejects what it has no place for. The silent call before goes on meanwhile; well below the time for
 * which two endpoints may be at work on one request.
 */
export const REJECTION_TIME = millis(150)
/** Time in which a connection opens for a call that is to take the place of a silent one. */
export const MAX_UNSENT_TIME = millis(500)
/** Times that inputs are made anew to replace one silent call. */
export const MAX_PREPARATIONS = 2
/** Interval at which a request without a usable endpoint checks again. */
export const PLACEMENT_RETRY_PERIOD = millis(40)
/** Longest wait for a usable endpoint when a refusal would waste work that was already done. */
export const PLACEMENT_TIMEOUT = seconds(2)
/** Longest wait for a usable endpoint before any work was done for the request. */
export const FIRST_PLACEMENT_TIMEOUT = millis(300)
/** Share of the retry budget that is used; the rest absorbs counts that arrive late. */
export const RETRY_SHARE = 0.7
/** Share of a cold endpoint's request rate that all instances together may use. */
export const COLD_SHARE = 0.8
/** Time after which an instance recomputes its share of a limit from the instances known by then. */
export const SHARE_TTL = millis(1000)
/** Bounds of the Retry-After that callers get. */
export const MIN_RETRY_AFTER = millis(100)
export const MAX_RETRY_AFTER = seconds(2)
/** Assumed prompt tokens that an engine prefills per millisecond. */
export const PREFILL_TOKENS_PER_MILLI = 60
/** Cost of each request that this instance runs at an engine. */
export const RUNNING_REQUEST_COST = millis(4)
/** Factor by which shared prompt tokens lower the cost of the engine with session affinity. */
export const AFFINITY_WEIGHT = 2
/** Prompt parts remembered as cached for each engine. */
export const MAX_CACHED_PARTS = 2048
/** Upper bound of the factor by which a call's time-outs grow at an endpoint that is known to be slow. */
export const MAX_ALLOWED_SLOWNESS = 3
/** Keys of an engine's work, and the tokens that stand for the time of reading a prompt of none. */
export const PROMPT_WORK_KEY = 'prompt'
export const STEP_WORK_KEY = 'step'
export const PROMPT_BASE_TOKENS = 600
/** Steps of a stream from which their time is learnt; fewer are dominated by how the network groups them. */
export const MIN_TIMED_STEPS = 5
/** Weight of the newest stream in the usual number of steps. */
export const STEP_COUNT_WEIGHT = 0.05
/** Cost of calling a plain service in another failure domain, in concurrent requests. */
export const CROSS_DOMAIN_COST = 0.4
/** Weight of the newest sample in a route's mean time. */
export const ROUTE_TIME_WEIGHT = 0.15
/** A route's time assumed before there is a sample. */
export const DEFAULT_ROUTE_TIME = millis(250)
/** During a planned stop a call is sent only if this many times its route's usual answer time is left. */
export const STOP_ANSWER_FACTOR = 2
/** `Retry-After` of requests that an instance refuses because it stops; other instances serve them. */
export const STOP_RETRY_AFTER = millis(300)
/** Time after which an engine has started to read a request's inputs, and the lowest rate at which it reads them. */
export const INPUT_READ_DELAY = millis(60)
export const INPUT_BYTES_PER_MILLI = 50_000
/** Share of the allowed exposure that a new version gets until it has been tried enough. */
export const MOVE_PROBE_SHARE = 0.8
/** The same afterwards; most of the exposure is kept for the first seconds under full load. */
export const MOVE_TRIED_SHARE = 0.2
/** A route on which the new version was hardly tried gets this many times as much. */
export const MOVE_UNTRIED_FACTOR = 2
/** Calls over all instances after which a version with good answers has been tried enough. */
export const MOVE_TRIED_CALLS = 60
/** Time before the end of the move at which a good version gets all requests, and at which the move is completed. */
export const MOVE_FULL_TRAFFIC_SPAN = millis(2200)
export const MOVE_DONE_MARGIN = millis(700)
/** An answer is slow if it takes longer than this factor times the usual time plus the margin. */
export const SLOW_FACTOR = 2.5
export const SLOW_MARGIN = millis(60)
/** Weight of the newest sample in a route's usual answer time. */
export const USUAL_TIME_WEIGHT = 0.1
/** Time allowed for the stages of a resumed stream, as a multiple of their run time without queueing. */
export const RESUMED_STAGES_FACTOR = 2
/** Workspaces with a metric label of their own; the others are counted together. */
export const MAX_WORKSPACE_LABELS = 100
/**
 * Routes with metrics; those of the route that was requested least recently are removed for a new one. Each takes about 1 kB, and
 * several times as much while the metrics are read.
 */
export const MAX_ROUTE_LABELS = 1000
/** Parts of a prompt that one log line names. */
export const MAX_LOGGED_PARTS = 16
/** Calls of one endpoint whose connections are lost within this time are lost for one cause. */
export const SAME_LOSS_SPAN = millis(50)
/** Crashes of endpoints that one request may be part of before it is sent to no other. */
export const MAX_CRASHES_PER_REQUEST = 2
/** Time after which an endpoint that still accepted a connection is probed once more. */
export const SECOND_PROBE_DELAY = millis(200)
