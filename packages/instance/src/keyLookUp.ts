import type { IdempotencyKey, ServiceId } from '@papayahill/common'
import type { EndpointAccess, EndpointPool, KeyStatus } from '@papayahill/endpoints'
import type { OperatorConfig } from '@papayahill/settings'

export interface KeyLookUpOptions {
  readonly access: EndpointAccess
  readonly pool: EndpointPool
  readonly config: () => OperatorConfig
}

const USABLE_STATES: ReadonlySet<string> = new Set(['warm', 'cold', 'leaving', 'out'])

/**
 * Asks a service's endpoints what became of an idempotency key, where the service declares the look-up.
 * Undefined where it does not, or where no endpoint answered.
 */
export const keyLookUp = (options: KeyLookUpOptions) =>
  async (service: ServiceId, key: IdempotencyKey): Promise<KeyStatus | undefined> => {
    if (options.config().services.get(service)?.statusLookup !== true) return undefined
    const usable = options.pool.snapshot()
      .filter(({ endpoint, state }) => endpoint.service === service && USABLE_STATES.has(state))
    for (const { endpoint } of usable) {
      const status = await options.access.lookUp(endpoint, key)
      if (status.isOk) return status.value
    }
    return undefined
  }
