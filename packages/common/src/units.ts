import type { Brand } from './Brand.js'

/** A duration, or a time on a monotonic clock, in milliseconds. */
export type Millis = Brand<number, 'Millis'>
/** A wall-clock time, in milliseconds since 1970 UTC. */
export type EpochMillis = Brand<number, 'EpochMillis'>
export type Tokens = Brand<number, 'Tokens'>
export type Bytes = Brand<number, 'Bytes'>
/** Money in integer millionths of the deployment's currency. */
export type MicroUnits = Brand<number, 'MicroUnits'>

export const MILLIS_PER_SECOND = 1000
export const MILLIS_PER_MINUTE = 60_000
export const MILLIS_PER_HOUR = 3_600_000
export const MILLIS_PER_DAY = 86_400_000

/**
 * @example
 * millis(250)
 */
export const millis = (value: number): Millis => value as Millis
export const epochMillis = (value: number): EpochMillis => value as EpochMillis
export const tokens = (value: number): Tokens => value as Tokens
export const bytes = (value: number): Bytes => value as Bytes
export const microUnits = (value: number): MicroUnits => value as MicroUnits
/**
 * @example
 * seconds(3) // 3000 ms
 */
export const seconds = (value: number): Millis => (value * MILLIS_PER_SECOND) as Millis
