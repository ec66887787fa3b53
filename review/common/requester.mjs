/** A requester: sends one attempt on a new channel and reports how it ended. */
import { randomBytes } from 'node:crypto'
import { request } from 'node:http'

export const HOST = 'pule25.example'
export const KEY = '9dnn2ctnfzs989anu6ws'

export const newAttempt = () => randomBytes(8).toString('hex')

/** Resolves with the status (0 if there was none), whether the answer is whole, and its body. */
export const send = ({ ip, port }, { path, attempt, method = 'POST', headers = {}, body = 'the body', timeLimitMs }) =>
  new Promise((resolve) => {
    const sentAt = performance.now()
    const end = (status, isWhole, text, detail) => {
      clearTimeout(timer)
      resolve({ attempt, status, isWhole, body: text, detail, sentAt, endedAt: performance.now() })
    }
    const req = request({
      host: ip,
      port,
      path,
      method,
      agent: false,
      headers: {
        Host: HOST,
        'Papayahill-Attempt-Id': attempt,
        'Papayahill-Deadline-Ms': String(timeLimitMs),
        Authorization: `Token ${KEY}`,
        ...headers
      }
    }, (res) => {
      const parts = []
      res.on('data', (part) => parts.push(part))
      res.on('error', () => {})
      res.on('close', () => end(res.statusCode, res.complete, Buffer.concat(parts).toString(), res.complete ? 'whole' : 'cut in the answer'))
    })
    const timer = setTimeout(() => req.destroy(new Error('the requester gave up')), timeLimitMs + 1000)
    req.on('error', (err) => end(0, false, '', err.message))
    req.end(method === 'GET' ? undefined : body)
  })
