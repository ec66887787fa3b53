import { KEEP_ALIVE } from '@papayahill/common'
import { connect } from 'node:net'
import { OPEN_TIMEOUT } from './constants.js'

/** Whether something listens at an address; `unknown` if there is no answer in time. */
export type ListenerState = 'listening' | 'refused' | 'unknown'

/**
 * Opens a connection and closes it at once, to tell an endpoint that has ended from one that only lost its connections.
 *
 * @example
 * await probeListener('127.0.0.1', 9101) // 'refused'
 */
export const probeListener = (ip: string, port: number): Promise<ListenerState> => new Promise((resolve) => {
  const socket = connect({ ...KEEP_ALIVE, host: ip, port, timeout: OPEN_TIMEOUT })
  const settle = (state: ListenerState): void => {
    socket.destroy()
    resolve(state)
  }
  socket.once('connect', () => settle('listening'))
  socket.once('timeout', () => settle('unknown'))
  socket.on('error', (err: NodeJS.ErrnoException) => settle(err.code === 'ECONNREFUSED' ? 'refused' : 'unknown'))
})
