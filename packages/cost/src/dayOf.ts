import type { EpochMillis } from '@papayahill/common'

const DAY_LENGTH = 'YYYY-MM-DD'.length

/**
 * The calendar day in UTC.
 *
 * @example
 * dayOf(epochMillis(Date.UTC(2027, 0, 4))) // '2027-01-04'
 */
export const dayOf = (at: EpochMillis): string => new Date(at).toISOString().slice(0, DAY_LENGTH)
