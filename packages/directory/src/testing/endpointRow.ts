import { brand, epochMillis, millis } from '@papayahill/common'
import type { DomainId, EndpointId, ServiceId } from '@papayahill/common'
import type { EndpointEntry } from '../EndpointDirectory.js'
import type { EndpointRecord, TableRow } from '../types.js'

/** Service of the endpoints in test rows. */
export const ROW_SERVICE = brand<ServiceId>('orders')

/** An endpoint's row in the platform's list. */
export const endpointRow = (id: string, fields: Partial<EndpointRecord> = {}): TableRow<EndpointEntry> => ({
  key: id,
  revision: 1,
  value: {
    record: {
      id: brand<EndpointId>(id),
      service: ROW_SERVICE,
      address: { ip: '10.0.0.1', port: 8080 },
      domain: brand<DomainId>('hall-1'),
      version: 'v1',
      slots: 6,
      isDraining: false,
      coldFor: millis(0),
      sequence: 3,
      startedAt: epochMillis(1000),
      ...fields
    }
  }
})
