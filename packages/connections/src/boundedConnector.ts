import { KEEP_ALIVE } from '@papayahill/common'
import type { Bytes } from '@papayahill/common'
import type { Socket } from 'node:net'
import { buildConnector } from 'undici'

/**
 * Ends a connection that has received more bytes since the last request was written on it than an answer may have. The
 * HTTP client's own limits leave out parts of an answer that have no end by themselves, such as interim answers.
 */
const endWhenOversized = (socket: Socket, maxAnswer: Bytes): void => {
  let written = socket.bytesWritten
  let readBefore = 0
  let read = 0
  socket.on('readable', () => {
    if (socket.bytesWritten !== written) {
      written = socket.bytesWritten
      readBefore = read
    }
    read = socket.bytesRead
    if (read - readBefore > maxAnswer) socket.destroy(new Error(`the answer is larger than ${maxAnswer} bytes`))
  })
}

/**
 * Connector for HTTP clients and pools, by which no answer can be larger than `maxAnswer`, whichever of its parts is.
 *
 * @example
 * new Pool(origin, { connect: boundedConnector(MAX_ANSWER, { timeout: CONNECT_TIMEOUT }) })
 */
export const boundedConnector = (maxAnswer: Bytes, options: buildConnector.BuildOptions = {}): buildConnector.connector => {
  const connect = buildConnector({ ...KEEP_ALIVE, ...options })
  return (target, callback) => connect(target, (...connected) => {
    // Declared as null after an error, but undefined.
    const socket: Socket | null | undefined = connected[1]
    if (socket) endWhenOversized(socket, maxAnswer)
    callback(...connected)
  })
}
