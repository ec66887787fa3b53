import type { EndpointId, Failure, ServiceId, VersionId } from '@papayahill/common'
import type { ListedEndpoint } from '@papayahill/stores'
import type { Result } from 'true-myth'

/** The actions that operators can order an endpoint to carry out. */
export type OrderAction =
  | { readonly kind: 'load-model', readonly model: string }
  | { readonly kind: 'load-adapter', readonly adapter: string }
  | { readonly kind: 'load-version', readonly version: VersionId }
  | { readonly kind: 'change-role', readonly role: string }

/** An order as it is sent; endpoints that check fencing tokens reject one below the highest seen. */
export interface Order {
  readonly endpoint: EndpointId
  readonly action: OrderAction
  readonly fence: number
}

export type OrderState = 'accepted' | 'sent' | 'done' | 'refused' | 'unknown'

export interface OrderStatus {
  readonly id: string
  readonly service: ServiceId
  readonly endpoint: EndpointId
  readonly action: OrderAction
  readonly state: OrderState
  readonly detail: string
}

/** Delivers one order to one endpoint. */
export interface OrderChannel {
  deliver (endpoint: ListedEndpoint, order: Order): Promise<Result<void, OrderRefusal>>
}

/** Why an order was not confirmed; after `unknown` the endpoint may still have carried it out. */
export interface OrderRefusal {
  readonly kind: 'old-fence' | 'unreachable' | 'failed' | 'unknown'
  readonly detail: string
}

export interface Orders {
  issue (service: ServiceId, endpoint: EndpointId, action: OrderAction): Promise<Result<OrderStatus, Failure>>
  status (): readonly OrderStatus[]
}
