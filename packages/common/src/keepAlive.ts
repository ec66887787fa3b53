import { seconds } from './units.js'

/** Time without any byte after which the kernel probes whether the other end of a connection is still there. */
export const KEEP_ALIVE_IDLE = seconds(10)

/**
 * Options of all sockets that a process opens or accepts, for servers and clients alike. The application's own timeouts come
 * first wherever an answer is awaited; the probes end idle connections whose other end has gone without a word.
 *
 * @example
 * createServer({ ...KEEP_ALIVE, headersTimeout: HEADERS_TIMEOUT }, handle)
 */
export const KEEP_ALIVE = { keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_IDLE } as const
