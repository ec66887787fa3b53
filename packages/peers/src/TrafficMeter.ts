import { bytes } from '@papayahill/common'
import type { Bytes } from '@papayahill/common'
import type { Topic, TopicTraffic } from './types.js'

interface TopicCount {
  sentBytes: number
  sentMessages: number
  receivedBytes: number
  receivedMessages: number
}

/** Counts bytes and messages by topic. */
export class TrafficMeter {
  readonly #counts = new Map<Topic, TopicCount>()

  sent (topic: Topic, size: number): void {
    const count = this.#count(topic)
    count.sentBytes += size
    count.sentMessages++
  }

  received (topic: Topic, size: number): void {
    const count = this.#count(topic)
    count.receivedBytes += size
    count.receivedMessages++
  }

  traffic (): readonly TopicTraffic[] {
    return [...this.#counts].map(([topic, count]) => ({
      topic,
      sentBytes: bytes(count.sentBytes),
      sentMessages: count.sentMessages,
      receivedBytes: bytes(count.receivedBytes),
      receivedMessages: count.receivedMessages
    }))
  }

  #count (topic: Topic): TopicCount {
    const known = this.#counts.get(topic)
    if (known !== undefined) return known
    const count = { sentBytes: 0, sentMessages: 0, receivedBytes: 0, receivedMessages: 0 }
    this.#counts.set(topic, count)
    return count
  }
}

/** Bytes sent and received on all topics. */
export const totalBytes = (traffic: readonly TopicTraffic[]): Bytes =>
  bytes(traffic.reduce((sum, topic) => sum + topic.sentBytes + topic.receivedBytes, 0))
