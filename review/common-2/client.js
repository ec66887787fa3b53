/** Stand-in of requesters: sends one request on a channel of its own and tells how it ended. */
import { request } from 'node:http'

/**
 * Sends a request; resolves with its status (0 if the channel ended without a whole answer), and the time in milliseconds.
 * `giveUpMs` is when the requester leaves.
 */
export const send = ({ ip, port, host, path, method = 'GET', attempt, deadlineMs, headers = {}, body, agent, giveUpMs = deadlineMs }) =>
  new Promise((resolve) => {
    const startedAt = performance.now()
    let hasEnded = false
    const end = (outcome) => {
      if (hasEnded) return
      hasEnded = true
      clearTimeout(timer)
      resolve({ ...outcome, tookMs: performance.now() - startedAt })
    }
    const req = request({
      host: ip,
      port,
      path,
      method,
      agent: agent ?? false,
      headers: { Host: host, 'Papayahill-Attempt-Id': attempt, 'Papayahill-Deadline-Ms': String(deadlineMs), ...headers }
    })
    const timer = setTimeout(() => {
      end({ status: 0, why: 'gave up' })
      req.destroy()
    }, giveUpMs)
    req.on('error', (err) => end({ status: 0, why: err.message }))
    req.on('response', (res) => {
      const parts = []
      res.on('data', (part) => parts.push(part))
      res.on('error', (err) => end({ status: 0, why: err.message }))
      res.on('close', () => {
        const text = Buffer.concat(parts).toString()
        end(res.complete ? { status: res.statusCode, headers: res.headers, text } : { status: 0, why: 'cut', text })
      })
    })
    req.end(body)
  })
