export { FaultyDutyTable } from './testing/FaultyDutyTable.js'
export type { DutyTableCopy, FaultyDutyTableOptions } from './testing/FaultyDutyTable.js'
export type * from './types.js'
