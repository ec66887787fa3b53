import { defineEvents } from '@papayahill/common'

/** Log events of orders to endpoints, 41xx. */
export const ORDERS_EVENTS = defineEvents({
  orderAccepted: { number: 4101, level: 'info', text: 'An order to an endpoint was accepted and got its fencing token.' },
  orderDone: { number: 4102, level: 'info', text: 'An endpoint carried out an order.' },
  orderRefused: { number: 4103, level: 'warn', text: 'An endpoint did not carry out an order; the event says why.' },
  orderUnknown: { number: 4104, level: 'warn', text: 'It is not known whether an endpoint carried out an order; issue it again if it is still needed.' },
  orderHeldBack: { number: 4105, level: 'warn', text: 'An order was not sent because this instance may no longer issue orders to the service.' },
  giverTookOver: { number: 4106, level: 'info', text: 'This instance took over issuing orders to a service; it waits until the previous issuer can no longer send.' }
})
