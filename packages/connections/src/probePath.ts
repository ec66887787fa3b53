import { KEEP_ALIVE } from '@papayahill/common'
import { connect } from 'node:net'
import { OPEN_TIMEOUT, SETTLE_TIME } from './constants.js'
import type { ListenerState } from './probeListener.js'

/**
 * Opens a connection, keeps it for a moment and closes it, to tell whether new connections reach an address: one that something
 * between accepts and resets does not count.
 *
 * @example
 * await probePath('127.0.0.1', 9101) // 'listening'
 */
export const probePath = (ip: string, port: number): Promise<ListenerState> => new Promise((resolve) => {
  const socket = connect({ ...KEEP_ALIVE, host: ip, port, timeout: OPEN_TIMEOUT })
  const settle = (state: ListenerState): void => {
    socket.destroy()
    resolve(state)
  }
  socket.once('connect', () => {
    socket.setTimeout(0)
    setTimeout(() => settle('listening'), SETTLE_TIME)
  })
  socket.once('timeout', () => settle('unknown'))
  socket.once('end', () => settle('refused'))
  socket.on('error', (err: NodeJS.ErrnoException) => settle(isRefusal(err) ? 'refused' : 'unknown'))
  socket.resume()
})

const isRefusal = ({ code }: NodeJS.ErrnoException): boolean => code === 'ECONNREFUSED' || code === 'ECONNRESET'
