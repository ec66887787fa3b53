import { defineEvents } from '@papayahill/common'

/** Log events of batched stages, 17xx. */
export const BATCHING_EVENTS = defineEvents({
  batchSent: { number: 1701, level: 'info', text: 'A batch of pieces was sent to a stage endpoint.' },
  batchEnded: { number: 1702, level: 'info', text: 'A stage endpoint answered a batch, or its answer was lost.' },
  piecesOrdered: { number: 1703, level: 'info', text: 'A request\'s pieces were sent to the instance that coordinates batches for a group of endpoints.' },
  gathererSuspected: { number: 1704, level: 'warn', text: 'An instance did not accept an order in time; another coordinates batches in its place.' },
  piecesAgain: { number: 1705, level: 'info', text: 'Pieces of a request are run again.' },
  piecesDropped: { number: 1706, level: 'info', text: 'Pieces were dropped, since their request can no longer be answered in time.' },
  stagesAgain: { number: 1708, level: 'info', text: 'A request\'s stages are run again, since inputs were gone before they were read.' },
  ordersOrphaned: { number: 1709, level: 'info', text: 'An instance whose orders run here has ended; what is queued for it is dropped.' },
  orderAcceptedLate: { number: 1710, level: 'info', text: 'An order waited long until its coordinator had read and accepted it.' },
  piecesFaulty: { number: 1707, level: 'info', text: 'A stage endpoint returned no result for some pieces of a batch.' }
})
