import { epochMillis, isJsonObject, millis } from '@papayahill/common'
import type { EpochMillis, Json, JsonObject, Millis } from '@papayahill/common'

/** A report: the sender's wall clock, and the body of each section by its name. */
export interface Report {
  readonly wall: EpochMillis
  readonly sections: ReadonlyArray<{ readonly name: string, readonly body: Json }>
}

/** What a receiver answers to a report. */
export interface ReportReply {
  /** False if the report could not be read. */
  readonly isStored: boolean
  /** How far the sender's wall clock is ahead of the median of all; undefined if that is not known. */
  readonly ahead?: Millis | undefined
}

/** Asks for all that the receiver has collected. */
export const COLLECT_MESSAGE = 'collect'

/** Encodes a report as a flat list, which takes fewer bytes than an object. */
export const encodeReport = ({ wall, sections }: Report): Json =>
  [Math.round(wall), ...sections.flatMap(({ name, body }) => [name, body])]

/** Decodes a report; undefined if it is malformed. */
export const decodeReport = (message: Json): Report | undefined => {
  if (!Array.isArray(message)) return undefined
  const [wall, ...rest] = message as readonly Json[]
  if (typeof wall !== 'number' || !Number.isFinite(wall) || rest.length % 2 !== 0) return undefined
  const sections: Array<{ readonly name: string, readonly body: Json }> = []
  for (let at = 0; at < rest.length; at += 2) {
    const name = rest[at]
    if (typeof name !== 'string') return undefined
    sections.push({ name, body: rest[at + 1]! })
  }
  return { wall: epochMillis(wall), sections }
}

export const encodeReply = ({ isStored, ahead }: ReportReply): Json =>
  isStored && ahead !== undefined ? Math.round(ahead) : isStored

/** Decodes a reply; anything unknown counts as not stored. */
export const decodeReply = (reply: Json): ReportReply =>
  typeof reply === 'number' && Number.isFinite(reply) ? { isStored: true, ahead: millis(reply) } : { isStored: reply === true }

/** The sections of an answer to `COLLECT_MESSAGE`; empty if it is malformed. */
export const decodeCollected = (answer: Json): JsonObject => isJsonObject(answer) ? answer : {}
