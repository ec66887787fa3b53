/** Micro-units in one unit of the deployment's currency. */
export const MICRO_UNITS_PER_UNIT = 1_000_000

/** Shortest secret or token that is accepted, in characters. */
export const SECRET_MIN_LENGTH = 16

export const DEFAULT_IP = '127.0.0.1'
export const DEFAULT_CALLERS_PORT = 8080
export const DEFAULT_OPERATORS_PORT = 8081
export const DEFAULT_PEERS_PORT = 8082

export const DEFAULT_BODY_BYTES = 2_097_152
export const DEFAULT_HEADER_BYTES = 16_384
export const DEFAULT_CONNECTIONS = 2_048
export const DEFAULT_SLOW_CALLER_BYTES = 262_144
export const DEFAULT_SLOW_CALLER_PATIENCE_MS = 10_000

/** Longest part of an invalid value that a fault shows, in characters. */
export const FOUND_MAX_LENGTH = 80
