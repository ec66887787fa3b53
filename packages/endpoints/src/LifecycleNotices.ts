import { brand } from '@papayahill/common'
import type { EndpointId, EndpointIncarnation, InstanceId, Json } from '@papayahill/common'
import type { PeerChannel, PeerChannelEntry } from './types.js'

/** Kinds of notices: an incarnation is leaving, or a new one was seen (`life`). */
export type NoticeKind = 'leaving' | 'life'

export interface LifecycleNoticesOptions {
  readonly self: InstanceId
  readonly channel: PeerChannel
  /** Called with each notice of another instance. */
  readonly onNotice: (kind: NoticeKind, endpoint: EndpointId, incarnation: EndpointIncarnation) => void
}

const KINDS: readonly NoticeKind[] = ['leaving', 'life']

const parseKey = (key: string): { readonly kind: NoticeKind, readonly endpoint: EndpointId } | undefined => {
  const kind = KINDS.find((each) => key.startsWith(`${each}/`))
  return kind === undefined ? undefined : { kind, endpoint: brand<EndpointId>(key.slice(kind.length + 1)) }
}

/**
 * Notifies the other instances of endpoint incarnations that are leaving, and of restarts that kept connections open.
 * Both kinds only reduce what is sent to an endpoint, so unconfirmed notices of other instances are safe to apply.
 *
 * @example
 * const notices = new LifecycleNotices({ self: self.id, channel, onNotice })
 * notices.publish('leaving', endpoint, incarnation)
 */
export class LifecycleNotices {
  readonly #options: LifecycleNoticesOptions

  constructor (options: LifecycleNoticesOptions) {
    this.#options = options
    options.channel.onEntry((entry) => this.#receive(entry))
  }

  publish (kind: NoticeKind, endpoint: EndpointId, incarnation: EndpointIncarnation | undefined): void {
    if (incarnation !== undefined) this.#options.channel.publish(`${kind}/${endpoint}`, incarnation)
  }

  #receive (entry: PeerChannelEntry): void {
    const key = parseKey(entry.key)
    const incarnation: Json = entry.value
    if (key === undefined || typeof incarnation !== 'string' || entry.owner === this.#options.self) return
    this.#options.onNotice(key.kind, key.endpoint, brand<EndpointIncarnation>(incarnation))
  }
}
