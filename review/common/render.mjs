/** Fills in the settings template as the platform does: `{{name}}`, `{{name|json}}`, and `{{#name}}...{{/name}}` for each in a table. */
const PLACEHOLDER = /{{([\w.]+|@)(\|json)?}}/g
const SECTION = /{{#([\w.]+)}}([^]*?){{\/\1}}/g

const fill = (text, fields) => text.replace(PLACEHOLDER, (placeholder, name, json) => {
  const value = fields[name]
  if (value === undefined) throw new Error(`the settings template names ${placeholder}, which review/common/program.mjs does not fill in`)
  return json === undefined ? String(value) : JSON.stringify(value)
})

/** Throws an error that names the placeholder if a field is missing or a placeholder has another form. */
export const render = (template, fields) => {
  const flat = template.replace(SECTION, (_all, name, line) => {
    if (fields[name] === undefined) throw new Error(`the settings template names {{#${name}}}, which review/common/program.mjs does not fill in`)
    return Object.entries(fields[name]).map(([key, value]) => fill(line, { ...fields, '@': key, '.': value })).join('')
  })
  const text = fill(flat, fields)
  const left = /{{.*?(}}|$)/m.exec(text)
  if (left !== null) throw new Error(`the settings template holds ${left[0]}, which review/common/render.mjs cannot read`)
  return text
}
