import { defineEvents } from '@papayahill/common'

/** Log events of the duties' lease, 33xx. */
export const DUTIES_EVENTS = defineEvents({
  leaseTaken: { number: 3301, level: 'info', text: 'This instance took the lease and carries out the duties from now on.' },
  leaseReleased: { number: 3302, level: 'info', text: 'This instance stops and has released the lease; the next candidate takes it.' },
  leaseExpired: { number: 3303, level: 'warn', text: 'This instance could not renew the lease in time and no longer carries out the duties.' },
  leaseLost: { number: 3304, level: 'warn', text: 'Another instance has the lease; this instance no longer carries out the duties.' },
  leaseReclaimed: { number: 3305, level: 'warn', text: 'The store lost the record of the lease; this instance still held it and wrote it again with a newer token.' },
  leaseUnreachable: { number: 3306, level: 'warn', text: 'A call of the lease to the store failed; the event says what was tried.' },
  leaseUnreadable: { number: 3307, level: 'error', text: 'The row of the lease cannot be read; it is written anew after a whole lease time.' },
  releaseFailed: { number: 3308, level: 'warn', text: 'The lease could not be released; the next holder waits for its end.' }
})
