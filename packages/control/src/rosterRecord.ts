import { brand } from '@papayahill/common'
import type { EpochMillis, Incarnation, InstanceId, Json } from '@papayahill/common'
import type { RowKey } from '@papayahill/stores'
import { z } from 'zod'
import { DEPARTED_RETENTION } from './constants.js'
import type { DepartedMember, RosterMember } from './types.js'

export const ROSTER_KEY = brand<RowKey>('roster')

/** A departed incarnation with the wall-clock time of its departure, after which it expires. */
interface DepartedRecord extends DepartedMember {
  readonly leftAt: number
}

/** The roster as stored. */
export interface RosterRecord {
  /** Increases with each change of the members, but not with changes of marks. */
  readonly version: number
  readonly members: readonly RosterMember[]
  readonly departed: readonly DepartedRecord[]
  /** Incarnations marked as suspected because an instance got no messages; each clears its own mark or is removed. */
  readonly suspected: readonly Incarnation[]
}

export const EMPTY_ROSTER: RosterRecord = { version: 0, members: [], departed: [], suspected: [] }

const memberSchema = z.object({
  id: z.string().transform((id) => brand<InstanceId>(id)),
  incarnation: z.string().transform((id) => brand<Incarnation>(id)),
  joinedAt: z.number()
})

const recordSchema = z.object({
  version: z.number(),
  members: z.array(memberSchema),
  departed: z.array(memberSchema.extend({ departedAt: z.number(), leftAt: z.number() })),
  suspected: z.array(z.string().transform((id) => brand<Incarnation>(id)))
})

/** Decodes the record from its row; an absent row is an empty roster. */
export const decodeRoster = (value: Json): RosterRecord => {
  const parsed = recordSchema.safeParse(value)
  return parsed.success ? parsed.data : EMPTY_ROSTER
}

export const encodeRoster = (record: RosterRecord): Json => ({
  version: record.version,
  members: record.members.map((member) => ({ ...member })),
  departed: record.departed.map((member) => ({ ...member })),
  suspected: record.suspected
})

export const hasMember = (record: RosterRecord, incarnation: Incarnation): boolean =>
  record.members.some((member) => member.incarnation === incarnation)

const keepRecent = (departed: readonly DepartedRecord[], now: EpochMillis): readonly DepartedRecord[] =>
  departed.filter((member) => now - member.leftAt < DEPARTED_RETENTION)

/** Removes the members for which `isGone` holds and keeps them as departed for {@link DEPARTED_RETENTION}. */
export const withoutMembers = (
  record: RosterRecord, isGone: (member: RosterMember) => boolean, now: EpochMillis
): RosterRecord => {
  const gone = record.members.filter(isGone)
  if (gone.length === 0) return record
  const version = record.version + 1
  const left = gone.map((member): DepartedRecord => ({ ...member, departedAt: version, leftAt: now }))
  return {
    version,
    members: record.members.filter((member) => !isGone(member)),
    departed: [...keepRecent(record.departed, now), ...left],
    suspected: record.suspected.filter((incarnation) => !gone.some((member) => member.incarnation === incarnation))
  }
}

/** Adds an incarnation; earlier ones of the same instance depart, and cannot join again after a later one. */
export const withMember = (
  record: RosterRecord, id: InstanceId, incarnation: Incarnation, now: EpochMillis
): RosterRecord => {
  if (hasMember(record, incarnation)) return record
  if (record.members.some((member) => member.id === id && member.incarnation > incarnation)) return record
  const rest = withoutMembers(record, (member) => member.id === id, now)
  const version = record.version + 1
  return { ...rest, version, members: [...rest.members, { id, incarnation, joinedAt: version }] }
}

export const withSuspicion = (record: RosterRecord, incarnation: Incarnation): RosterRecord =>
  !hasMember(record, incarnation) || record.suspected.includes(incarnation)
    ? record
    : { ...record, suspected: [...record.suspected, incarnation] }

export const withoutSuspicion = (record: RosterRecord, incarnation: Incarnation): RosterRecord =>
  record.suspected.includes(incarnation)
    ? { ...record, suspected: record.suspected.filter((other) => other !== incarnation) }
    : record
