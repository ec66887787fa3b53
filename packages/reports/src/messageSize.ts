import type { Json } from '@papayahill/common'

const UINT8 = 0x100
const UINT16 = 0x10000
const UINT32 = 0x100000000

const numberSize = (value: number): number => {
  if (!Number.isInteger(value) || value >= UINT32 || value < -UINT32 / 2) return 9
  if (value >= -32 && value < UINT8 / 2) return 1
  if (value >= -UINT8 / 2 && value < UINT8) return 2
  return value >= -UINT16 / 2 && value < UINT16 ? 3 : 5
}

/** Size of a list, an object or a text without its content. */
const headSize = (length: number, shortLength: number): number => {
  if (length < shortLength) return 1
  return length < UINT16 ? 3 : 5
}

/** Approximate size of a message in msgpack. */
export const messageSize = (message: Json): number => {
  if (typeof message === 'number') return numberSize(message)
  if (typeof message === 'string') return headSize(message.length, 32) + message.length
  if (message === null || typeof message !== 'object') return 1
  const parts: readonly Json[] = Array.isArray(message) ? message : Object.entries(message).flat()
  let size = headSize(parts.length, 16)
  for (const part of parts) size += messageSize(part)
  return size
}
