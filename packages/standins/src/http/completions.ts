import type { CallId, InstanceId, StageUsage } from '@papayahill/common'
import { formatCallId, isJsonObject } from '@papayahill/common'
import type { CallError, StageCall, StageChunk } from '@papayahill/endpoints'
import type { FakeEndpoint } from '../FakeEndpoint.js'
import { sendJson } from './HttpStandIn.js'
import type { StandInResponse } from './HttpStandIn.js'

const usageOf = (usage: StageUsage): object => ({
  prompt_tokens: usage.tokensIn + usage.tokensCached,
  completion_tokens: usage.tokensOut,
  prompt_tokens_details: { cached_tokens: usage.tokensCached },
  busy_ms: usage.busy
})

const completion = (id: CallId, text: string, finishReason: string | null): object => ({
  id: formatCallId(id), object: 'text_completion', choices: [{ index: 0, text, finish_reason: finishReason }]
})

const failureOf = ({ detail, usage, cacheExport }: CallError): object => ({
  detail, usage: usage === undefined ? undefined : usageOf(usage), cache_export: cacheExport
})

const writeEvent = (res: StandInResponse, data: string, id?: number): void => {
  const line = id === undefined ? '' : `id: ${id}\n`
  res.write(`${line}data: ${data}\n\n`)
}

const startStream = (res: StandInResponse): void => {
  if (!res.headersSent) res.writeHead(200, { 'content-type': 'text/event-stream' })
}

const writeChunk = (res: StandInResponse, chunk: StageChunk): void => {
  startStream(res)
  const body = { ...completion(chunk.call, chunk.text, null), tokens: chunk.tokens }
  writeEvent(res, JSON.stringify(body), chunk.index)
}

/** Answers like an OpenAI-compatible engine, with one body or with server-sent events that end with `[DONE]`. */
export const answerCompletion = async (
  endpoint: FakeEndpoint, res: StandInResponse, call: StageCall, signal: AbortSignal, instance: InstanceId | undefined
): Promise<void> => {
  const result = await endpoint.serve(call, (chunk) => writeChunk(res, chunk), signal, instance)
  if (res.destroyed) return
  if (result.isErr) {
    if (res.headersSent || result.error.outcome === 'cut') res.destroy()
    else sendJson(res, 500, failureOf(result.error))
    return
  }
  const { call: echo, body, usage } = result.value
  const { text = '', ...metadata } = isJsonObject(body) ? body : {}
  const last = { ...completion(echo, call.isStreamed ? '' : String(text), 'stop'), usage: usageOf(usage), metadata }
  if (!call.isStreamed) return sendJson(res, 200, last)
  startStream(res)
  writeEvent(res, JSON.stringify(last))
  writeEvent(res, '[DONE]')
  res.end()
}
