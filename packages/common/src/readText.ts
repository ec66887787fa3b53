import { ByteCollector } from './ByteCollector.js'

/**
 * The whole text of a body, which may come in parts of any size. The body must be bounded by the connection that it comes from.
 *
 * @example
 * const text = await readText(res.body)
 */
export const readText = async (body: AsyncIterable<Uint8Array>): Promise<string> => {
  const joined = new ByteCollector()
  for await (const part of body) joined.add(part)
  return joined.take().toString()
}
