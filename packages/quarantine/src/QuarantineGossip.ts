import type { GossipEntry, Peers } from '@papayahill/peers'
import { BEGUN_KEYS, CRASH_KEYS, QUARANTINE_KEYS } from './constants.js'
import { decodeMessage, encodeMessage } from './quarantineMessages.js'
import type { QuarantineMessage } from './quarantineMessages.js'

/** Messages of one kind that an instance keeps published; a further one replaces its oldest. */
const KEYS: Readonly<Record<QuarantineMessage['kind'], number>> = {
  crash: CRASH_KEYS, begun: BEGUN_KEYS, quarantine: QUARANTINE_KEYS, order: QUARANTINE_KEYS
}

/** Receives the messages of other instances. */
export interface QuarantineReceiver {
  receive (message: QuarantineMessage, from: GossipEntry['owner']): void
  receiveMalformed (from: GossipEntry['owner']): void
}

/**
 * Publishes messages to all instances, also to those that join later, and receives theirs.
 *
 * @example
 * gossip.publish('e1 1000', { kind: 'crash', report })
 */
export class QuarantineGossip {
  readonly #peers: Pick<Peers, 'publish'>
  /** Keys of the published messages by kind and name, oldest first. */
  readonly #keys = new Map<QuarantineMessage['kind'], Map<string, string>>()

  constructor (peers: Pick<Peers, 'self' | 'publish' | 'onEntry'>, receiver: QuarantineReceiver) {
    this.#peers = peers
    peers.onEntry('quarantine', ({ owner, value }) => {
      if (owner === peers.self) return
      const message = decodeMessage(value)
      if (message === undefined) receiver.receiveMalformed(owner)
      else receiver.receive(message, owner)
    })
  }

  /** Publishes a message; one with the same name replaces the previous one. */
  publish (name: string, message: QuarantineMessage): void {
    this.#peers.publish('quarantine', this.#keyOf(message.kind, name), encodeMessage(message))
  }

  #keyOf (kind: QuarantineMessage['kind'], name: string): string {
    const keys = this.#keys.get(kind) ?? new Map<string, string>()
    this.#keys.set(kind, keys)
    const [oldest] = keys.size < KEYS[kind] ? [] : keys
    const key = keys.get(name) ?? oldest?.[1] ?? `${kind[0]}${keys.size}`
    if (!keys.has(name) && oldest !== undefined) keys.delete(oldest[0])
    keys.delete(name)
    keys.set(name, key)
    return key
  }
}
