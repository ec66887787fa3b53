import { millis } from '@papayahill/common'

/** Longest wait for another instance to take an order; a living one takes it at once. */
export const TAKE_TIMEOUT = millis(250)
/** Time for which an instance that did not take an order gathers for nobody here. */
export const SUSPICION_SPAN = millis(1500)
/** Silence of a link from which on its instance gathers for nobody. */
export const GATHERER_SILENCE = millis(1300)
/** Time in which results that are unknown here are read and freed by their owners. */
export const FOREIGN_LIFE = millis(800)
/** A call that takes this many times its forecast, and the time below more, counts as lost. */
export const LOST_FACTOR = 3
export const LOST_MARGIN = millis(400)
/** Time for which further losses are reckoned with after a lost call. */
export const LOSS_DOUBT = millis(3000)
/** Time after which an endpoint has surely begun to read its inputs, and the least rate at which it reads them. */
export const READ_DELAY = millis(40)
export const READ_BYTES_PER_MILLI = 300_000
/** A call that takes at most this many times its forecast, and the time below more, waited for no other. */
export const ALONE_FACTOR = 1.2
export const ALONE_MARGIN = millis(40)
/** Wait before a refused batch is offered again. */
export const REFUSED_PAUSE = millis(60)
/** Wait before pieces are offered again to an endpoint without room. */
export const ROOM_PAUSE = millis(80)
/** Part of an endpoint's room that is filled, since results are only about as large as declared. */
export const ROOM_SHARE = 0.95
/** Results that are given up are told to their makers together, this often. */
export const FREE_PERIOD = millis(10)
/** Weight of the newest call in an endpoint's pace. */
export const PACE_WEIGHT = 0.3
/** Part of a result's life in which it is counted on, since its end is not known exactly. */
export const LIFE_SHARE = 0.95
/** Times that a stage's pieces may be asked for again before their request fails. */
export const MAX_REMAKES = 4
/** A word of an endpoint's backlog counts for this long. */
export const BACKLOG_LIFE = millis(1000)
/** Delay that a byte of result carried between domains is weighed like. */
export const CROSS_DOMAIN_MILLIS_PER_BYTE = 40 / 1_000_000
/** Delay by which an engine's own failure domain is preferred for the stages before it. */
export const HOME_PREFERENCE = millis(30)
/** Delay that a domain is weighed with for each stage that has no endpoint there. */
export const MISSING_STAGE = millis(150)
/** Endpoints of a service for which one instance gathers: few groups need few links, and share the work all the same. */
export const ENDPOINTS_PER_GROUP = 16
/** Gatherers have at least this part of the largest capacity of all instances, where there are enough of them. */
export const GATHERER_CAPACITY = 0.5
/** Instances of such capacity from which on the others gather for nobody. */
export const MIN_GATHERERS = 4
/** Age up to which planned waits are reported without a new plan. */
export const BACKLOG_AGE = millis(25)
/** Delay by which each step of urgency comes before less urgent work that is due at the same time. */
export const URGENCY_STEP = millis(200)
/** Time of the ways to and from an endpoint, by which a call must end before its pieces are due. */
export const DUE_MARGIN = millis(10)
/** Pieces that wait are planned anew at least this often. */
export const PLAN_PERIOD = millis(50)
/** A call that is overdue is expected to last as long again, and this time more. */
export const OVERDUE_MARGIN = millis(20)
/** Half-life of what an endpoint's last calls say of its pace. */
export const PACE_LIFE = millis(1500)
/** An endpoint that runs at this many times the forecast or slower counts no slower. */
export const MAX_PACE = 12
/** How often an instance that took an order is looked for. */
export const PRESENCE_PERIOD = millis(200)
