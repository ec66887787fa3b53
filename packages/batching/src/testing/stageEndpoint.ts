import { brand, bytes, millis } from '@papayahill/common'
import type { Bytes, DomainId, EndpointId, ServiceId } from '@papayahill/common'
import { Endpoint } from '@papayahill/directory'
import type { BatchProfile, EndpointRecord } from '@papayahill/directory'
import { callCharactersOf } from '../callCharacters.js'
import type { Piece } from '../types.js'

/** Batch profile of the stage endpoints in tests. */
export const TEST_PROFILE: BatchProfile = {
  slots: 1, queue: 2, size: 6, callTime: millis(200), pieceTime: millis(10), resultCapacity: bytes(100), resultTtl: millis(4000)
}

export const stageRecord = (id: string, service = 'encode', domain = 'hall-1'): EndpointRecord => ({
  id: brand<EndpointId>(id),
  service: brand<ServiceId>(service),
  address: { ip: '10.0.0.1', port: 1 },
  domain: brand<DomainId>(domain),
  version: 'v1',
  slots: 1,
  isDraining: false,
  coldFor: millis(0),
  sequence: 1,
  startedAt: undefined
})

export const stageEndpoint = (id: string, service?: string, domain?: string): Endpoint =>
  new Endpoint(stageRecord(id, service, domain))

/** A first stage's piece with default fields. */
export const stagePiece = (request: string, fields: Partial<Piece> = {}): Piece => ({
  request,
  stage: 0,
  index: 0,
  key: 'k',
  inputs: [],
  callCharacters: callCharactersOf({ request, key: 'k', inputs: [], ...fields }),
  inputBytes: bytes(0),
  losses: 0,
  resultBytes: 10 as Bytes,
  due: millis(10_000),
  deadline: millis(20_000),
  timeAfter: millis(0),
  priority: 1,
  ...fields
})
