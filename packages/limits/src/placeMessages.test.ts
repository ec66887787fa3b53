import { brand, seconds } from '@papayahill/common'
import type { EndpointId, Json } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { decodePlaceLoan, decodePlaceMessage, encodePlaceLoan, encodePlaceMessage } from './placeMessages.js'

const endpoint = brand<EndpointId>('e1')

describe('messages about places', () => {
  it('are read as they were written', () => {
    for (const returned of [undefined, 7]) {
      const message = { endpoint, incarnation: '1000', returned }
      expect(decodePlaceMessage(encodePlaceMessage(message))).toEqual(message)
    }
    expect(decodePlaceLoan(encodePlaceLoan({ id: 7, lentFor: seconds(5) }))).toEqual({ id: 7, lentFor: 5000 })
    expect(decodePlaceLoan(encodePlaceLoan(undefined))).toBeUndefined()
  })

  it.each<Json>([null, 'e1', [], ['e1'], ['e1', 7], [7, 'x'], ['e1', 'x', { perSecond: 1, version: 1 }]])(
    'are not read from others (%j)', (message) => {
      expect(decodePlaceMessage(message)).toBeUndefined()
    })

  it.each<Json>([null, 7, [], {}, { id: 1 }, { ms: 5 }, { id: 1, ms: -1 }, { id: 1, ms: 'x' }, { retryMs: 5 }])(
    'name no loan in a malformed answer (%j)', (answer) => {
      expect(decodePlaceLoan(answer)).toBeUndefined()
    })
})
