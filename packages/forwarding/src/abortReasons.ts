/** Reason with which the signal of a request is aborted when the instance can wait for it no longer. */
export const INSTANCE_STOPPED = Symbol('the instance has stopped')
/** Reason with which the signal of a request is aborted once its deadline has ended it. */
export const DEADLINE_PASSED = Symbol('the deadline has passed')
