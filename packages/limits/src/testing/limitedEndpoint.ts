import { brand, epochMillis, millis } from '@papayahill/common'
import type { DomainId, EndpointId, ServiceId } from '@papayahill/common'
import { Endpoint } from '@papayahill/directory'
import type { EndpointRecord, NamedLimit, TableRow, EndpointEntry } from '@papayahill/directory'

/** Service of the endpoints in tests. */
export const LIMITED_SERVICE = brand<ServiceId>('pool')

const DEFAULT_SLOTS = 64

interface RowFields {
  readonly startedAt?: number
  readonly slots?: number | undefined
}

const recordOf = (id: string, startedAt: number, slots = DEFAULT_SLOTS): EndpointRecord => ({
  id: brand<EndpointId>(id),
  service: LIMITED_SERVICE,
  address: { ip: '10.0.0.1', port: 8080 },
  domain: brand<DomainId>('hall-1'),
  version: 'v1',
  slots,
  isDraining: false,
  coldFor: millis(0),
  sequence: 1,
  startedAt: epochMillis(startedAt)
})

/** An endpoint's row in the platform's list. */
export const endpointRow = (id: string, { startedAt = 1000, slots }: RowFields = {}): TableRow<EndpointEntry> =>
  ({ key: id, revision: startedAt, value: { record: recordOf(id, startedAt, slots) } })

/** An endpoint with a limit in force; none without `perSecond`. */
export const limitedEndpoint = (id: string, perSecond?: number): Endpoint & { limit: NamedLimit } => {
  const endpoint = new Endpoint(recordOf(id, 1000))
  endpoint.limit = { perSecond, version: 1, source: 'answer', learnedAt: millis(0), confirmedAt: millis(0) }
  return endpoint as Endpoint & { limit: NamedLimit }
}
