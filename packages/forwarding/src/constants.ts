import { bytes, millis, seconds } from '@papayahill/common'

/** Answers up to this size are held until they are whole, so that a broken one can be asked for again. */
export const MAX_HELD_ANSWER = bytes(2_097_152)
/** Largest part of one stream's event that is held back. */
export const MAX_EVENT = bytes(1_048_576)
/** Idle connections that are kept to one endpoint. */
export const MAX_IDLE_CONNECTIONS = 16
/** Part of an endpoint's connections that all instances together may use. */
export const CONNECTION_SHARE = 0.8
/** Least time left for which a call is still sent. */
export const MIN_CALL_TIME = millis(15)
/** Endpoints that may turn one attempt of a caller down before it is refused. */
export const MAX_TURN_DOWNS = 4
/** A repeatable request that waits longer than this many targets for its answer is sent elsewhere. */
export const HANG_TARGETS = 2.5
/** Least time before a repeatable request without an answer is sent elsewhere. */
export const MIN_HANG = millis(250)
/** Time after a call's deadline, which its endpoint keeps by itself, from which on its answer is waited for no more. */
export const LATE_ANSWER = millis(400)
/** A resumable stream goes on elsewhere after a pause of this many times the longest that its route allows. */
export const SILENT_GAPS = 5
/** Least pause in a resumable stream from which on it goes on elsewhere. */
export const STREAM_SILENCE = millis(1500)
/** How often a request without a usable endpoint looks again. */
export const PLACE_RETRY = millis(40)
/** Longest wait for a usable endpoint, where earlier work would be lost by a refusal. */
export const PLACE_PATIENCE = seconds(2)
/** Longest wait for a usable endpoint before anything was done for a request. */
export const FIRST_PLACE_PATIENCE = millis(300)
/** Part of the shared retry budget that this system uses, so that late counts don't pass it. */
export const RETRY_SHARE = 0.7
/** Part of what a cold endpoint bears that all instances together send. */
export const COLD_SHARE = 0.8
/** Time for which an instance's part of a limit stands, after which it is found anew among those that are known. */
export const SPLIT_LIFE = millis(1000)
/** Shortest and longest times to come back that callers are told. */
export const MIN_RETRY_AFTER = millis(100)
export const MAX_RETRY_AFTER = seconds(2)
/** Prompt tokens that an engine reads in a millisecond, before any was measured. */
export const PREFILL_TOKENS_PER_MILLI = 60
/** Delay that each of an instance's running requests at an engine is weighed like. */
export const RUNNING_WEIGHT = millis(4)
/** Delay that an engine is preferred by whose cache the rendezvous order names. */
export const AFFINITY_WEIGHT = 2
/** Parts that are remembered for each engine. */
export const MAX_REMEMBERED_PARTS = 2048
/** Delay that crossing a domain is weighed like at plain services. */
export const DOMAIN_WEIGHT = 0.4
/** Weight of the newest time in a class's time to its first event. */
export const FIRST_EVENT_WEIGHT = 0.15
/** Time to a first event before any was measured. */
export const FIRST_EVENT_GUESS = millis(250)
/** Time after which an engine has surely begun to read a request's inputs, and the least rate at which it reads them. */
export const INPUT_READ_DELAY = millis(60)
export const INPUT_BYTES_PER_MILLI = 50_000
/** Part of the allowed exposure that a new version gets until it was tried well. */
export const MOVE_PROBE_SHARE = 0.8
/** The same after that, so that most of the exposure is left for its first seconds under full load. */
export const MOVE_TRIED_SHARE = 0.2
/** A route on which the new version was hardly tried gets this many times as much. */
export const MOVE_UNTRIED_FACTOR = 2
/** Calls of all instances after which a version whose answers are good was tried well. */
export const MOVE_TRIED_CALLS = 60
/** Time before the time set at which a good version gets all requests, and at which the move is done. */
export const MOVE_FULL_SPAN = millis(2200)
export const MOVE_DONE_MARGIN = millis(700)
/** An answer is slow that takes this many times the usual, and the time below more. */
export const SLOW_FACTOR = 2.5
export const SLOW_MARGIN = millis(60)
/** Weight of the newest answer in a route's usual time. */
export const USUAL_WEIGHT = 0.1
/** Time that a broken stream's stages may take, over what they take without any wait. */
export const RESUME_SLACK = 2
/** Workspaces that metrics name; the others are counted together. */
export const MAX_METERED_WORKSPACES = 100
