import { defineEvents } from '@papayahill/common'

/** Log events of scheduling, 31xx. */
export const SCHEDULING_EVENTS = defineEvents({
  refusing: {
    number: 3101,
    level: 'warn',
    text: 'Requests of a class are refused at admission because their target cannot be met; see the overload page.'
  },
  admitting: { number: 3102, level: 'info', text: 'Requests of a class are admitted again.' },
  noEndpoint: { number: 3103, level: 'error', text: 'A service has no slot that this instance may use; requests of the classes that need it are refused.' },
  retryDenied: { number: 3104, level: 'warn', text: 'The retry budget of a class at a service is used up or the service is overloaded.' }
})
