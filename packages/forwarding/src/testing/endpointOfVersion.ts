import { brand, millis } from '@papayahill/common'
import type { DomainId, EndpointId, ServiceId } from '@papayahill/common'
import { Endpoint } from '@papayahill/directory'

/** An endpoint of the given version, which is also its id. */
export const endpointOfVersion = (service: ServiceId, version: string): Endpoint => new Endpoint({
  id: brand<EndpointId>(version),
  service,
  address: { ip: '10.0.0.1', port: 1 },
  domain: brand<DomainId>('hall'),
  version,
  slots: 1,
  isDraining: false,
  coldFor: millis(0),
  sequence: 1,
  startedAt: undefined
})
